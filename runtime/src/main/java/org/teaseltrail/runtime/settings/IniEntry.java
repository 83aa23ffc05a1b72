package org.teaseltrail.runtime.settings;

/**
 * Is a key with its value, as it stands in a file.
 *
 * @param name its section and key
 * @param text its value, trimmed; empty if none is given
 * @param line its line, counted from one
 */
record IniEntry(SettingName name, String text, int line) {}
