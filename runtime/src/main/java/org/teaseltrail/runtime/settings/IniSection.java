package org.teaseltrail.runtime.settings;

/**
 * Section header of a settings file.
 *
 * @param name its name
 * @param line its line number, counted from one
 */
record IniSection(String name, int line) {}
