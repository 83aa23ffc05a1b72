package org.teaseltrail.runtime.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Reads a secret from the file that the setting specifies; surrounding white space is removed. */
record SecretFileKind() implements ValueKind<Secret> {

  @Override
  public Secret parse(String text) throws InvalidSettingValueException {
    String secret;
    try {
      secret = Files.readString(Path.of(text), StandardCharsets.UTF_8).trim();
    } catch (IOException | InvalidPathException e) {
      throw new InvalidSettingValueException(
          SettingsProblemKind.SECRET_UNREADABLE, "file " + text + ": " + e);
    }
    if (secret.isEmpty()) {
      throw new InvalidSettingValueException(
          SettingsProblemKind.SECRET_UNREADABLE, "file " + text + " is empty");
    }
    return new Secret(secret);
  }

  @Override
  public String description() {
    return "the path of a file that holds the secret";
  }
}
