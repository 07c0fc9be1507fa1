package postgrade.rig.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Scanner;

/** A small process that repeats each input line as an event and writes a file on request. */
public final class Echo {

    private Echo() {}

    public static void main(String[] args) {
        System.out.println(
                "{\"kind\":\"up\",\"clock\":\"" + System.getenv("POSTGRADE_TEST_CLOCK") + "\"}");
        Scanner lines = new Scanner(System.in);
        while (lines.hasNextLine()) {
            String line = lines.nextLine();
            if (line.startsWith("write ")) {
                try {
                    Files.write(Path.of(line.substring(6)), new byte[64 * 1024]);
                    System.out.println("{\"kind\":\"written\"}");
                } catch (IOException e) {
                    System.out.println("{\"kind\":\"full\"}");
                }
            } else {
                System.out.println("{\"kind\":\"said\",\"text\":\"" + line + "\"}");
            }
        }
    }
}
