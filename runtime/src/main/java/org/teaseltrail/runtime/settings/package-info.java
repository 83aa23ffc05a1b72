/** Typed settings, read from INI files and completely validated before a program starts. */
package org.teaseltrail.runtime.settings;
