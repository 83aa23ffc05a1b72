package org.teaseltrail.cli;

import java.util.ArrayList;
import java.util.List;

/** Prints rows in aligned columns. */
final class TextTable {

  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /**
   * Makes a table.
   *
   * @param heads the heads of its columns
   */
  TextTable(String... heads) {
    rows.add(List.of(heads));
  }

  /**
   * Adds a row.
   *
   * @param cells as many as there are columns
   * @return this table
   */
  TextTable row(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      String text = String.valueOf(cell);
      row.add(text.isEmpty() ? "-" : text);
    }
    rows.add(row);
    return this;
  }

  /** Returns the table with a line end behind each row. */
  String print() {
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < row.size(); column++) {
        String cell = row.get(column);
        line.append(cell).append(" ".repeat(width(column) - cell.length())).append(GAP);
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
