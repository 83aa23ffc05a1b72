package org.teaseltrail.cli;

import java.util.ArrayList;
import java.util.List;

/** Formats rows as aligned columns. */
final class TextTable {

  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /**
   * Creates a table without rows.
   *
   * @param headers the column headers
   */
  TextTable(String... headers) {
    rows.add(List.of(headers));
  }

  /**
   * Adds a row.
   *
   * @param cells the cells, one per column; empty ones are shown as a hyphen
   * @return this table
   */
  TextTable addRow(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      String text = String.valueOf(cell);
      row.add(text.isEmpty() ? "-" : text);
    }
    rows.add(row);
    return this;
  }

  /** Returns the formatted table, with a line break after each row. */
  String print() {
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < row.size(); column++) {
        String cell = row.get(column);
        line.append(cell).append(" ".repeat(columnWidth(column) - cell.length())).append(GAP);
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }

  private int columnWidth(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
