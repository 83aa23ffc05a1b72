package org.teaseltrail.runtime.settings;

/**
 * Key of a settings file with its value, as written.
 *
 * @param name its section and key
 * @param text its value, trimmed; empty if there is none
 * @param line its line number, counted from one
 */
record IniEntry(SettingName name, String text, int line) {}
