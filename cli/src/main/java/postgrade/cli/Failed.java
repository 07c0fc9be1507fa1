package postgrade.cli;

import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;

/** The work could not be done: one line that says why, and exit code 1. */
public final class Failed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public Failed(String message) {
        super(message);
    }

    /** What an exception of the file system means, in words. */
    static String plain(Exception e) {
        if (e instanceof NoSuchFileException) {
            return e.getMessage() + ": no such file";
        }
        if (e instanceof AccessDeniedException) {
            return e.getMessage() + ": access denied";
        }
        if (e instanceof FileAlreadyExistsException) {
            return e.getMessage() + ": exists already";
        }
        return e.getMessage() == null ? e.toString() : e.getMessage();
    }
}
