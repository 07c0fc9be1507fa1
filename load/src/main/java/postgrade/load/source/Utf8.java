package postgrade.load.source;

/** Whether bytes are UTF-8, quickly for those that are ASCII. */
final class Utf8 {

    private Utf8() {}

    static boolean valid(byte[] b, int length) {
        for (int i = 0; i < length; i++) {
            int c = b[i];
            if (c >= 0) {
                continue;
            }
            int more = (c & 0xe0) == 0xc0 ? 1 : (c & 0xf0) == 0xe0 ? 2 : (c & 0xf8) == 0xf0 ? 3 : 0;
            if (more == 0 || i + more >= length) {
                return false;
            }
            int point = c & 0x3f >> more;
            for (int k = 1; k <= more; k++) {
                if ((b[i + k] & 0xc0) != 0x80) {
                    return false;
                }
                point = point << 6 | b[i + k] & 0x3f;
            }
            int least = more == 1 ? 0x80 : more == 2 ? 0x800 : 0x10000;
            if (point < least || point > 0x10ffff || point >= 0xd800 && point <= 0xdfff) {
                return false;
            }
            i += more;
        }
        return true;
    }
}
