package org.teaseltrail.runtime.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/**
 * Parsed INI file: its sections and keys with their line numbers.
 *
 * @param sections the section headers
 * @param entries the keys with their values
 * @param malformedLine the first line that can't be parsed, if any; the lines after it are not read
 */
record IniDocument(List<IniSection> sections, List<IniEntry> entries, OptionalInt malformedLine) {

  /**
   * Parses a file.
   *
   * @param file the file, in UTF-8
   * @return the parsed file
   * @throws IOException if it can't be read
   */
  static IniDocument read(Path file) throws IOException {
    List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
    LineByLineReader reader = new LineByLineReader(lines);
    Collector collector = new Collector(reader);
    OptionalInt malformedLine = OptionalInt.empty();
    try {
      IniParser.newInstance(config()).parse(reader, collector);
    } catch (InvalidFileFormatException e) {
      malformedLine = OptionalInt.of(reader.lineNumber());
    }
    return new IniDocument(collector.sections, collector.entries, malformedLine);
  }

  private static Config config() {
    Config config = new Config();
    config.setEscape(false);
    config.setEscapeNewline(false);
    config.setEmptyOption(true);
    config.setGlobalSection(true);
    config.setGlobalSectionName("");
    config.setUnnamedSection(true);
    return config;
  }

  private static final class Collector implements IniHandler {

    private final List<IniSection> sections = new ArrayList<>();
    private final List<IniEntry> entries = new ArrayList<>();
    private final LineByLineReader reader;
    private String section = "";

    Collector(LineByLineReader reader) {
      this.reader = reader;
    }

    @Override
    public void startIni() {}

    @Override
    public void endIni() {}

    @Override
    public void startSection(String name) {
      section = name;
      sections.add(new IniSection(name, Math.max(1, reader.lineNumber())));
    }

    @Override
    public void endSection() {}

    @Override
    public void handleComment(String comment) {}

    @Override
    public void handleOption(String key, String value) {
      String text = value == null ? "" : value.trim();
      entries.add(new IniEntry(new SettingName(section, key), text, reader.lineNumber()));
    }
  }
}
