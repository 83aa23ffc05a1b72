package org.teaseltrail.runtime.settings;

/**
 * Is the head of a section, as it stands in a file.
 *
 * @param name its name
 * @param line its line, counted from one
 */
record IniSection(String name, int line) {}
