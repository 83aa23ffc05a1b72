/** Typed settings, read from INI files and checked whole before a program starts. */
package org.teaseltrail.runtime.settings;
