package org.teaseltrail.cli;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.settings.InvalidSettingValueException;
import org.teaseltrail.runtime.settings.ValueKinds;

/** Hashes secrets read from files, so that only the hashes leave the operator's machine. */
final class SecretHasher {

  private SecretHasher() {}

  /**
   * Hashes the secret in a file; surrounding white space is removed first.
   *
   * @param file the path of the file
   * @return SHA-256 in lower-case hexadecimal
   * @throws ProgramException if the file can't be read or is empty
   */
  static String hashFile(String file) throws ProgramException {
    try {
      String secret = ValueKinds.secretFile().parse(file).value();
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (InvalidSettingValueException e) {
      throw new ProgramException(ExitCode.USAGE, e.getMessage(), e);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
