/** Drives the real role objects together under virtual time, with fakes at the interfaces. */
package org.teaseltrail.session;
