/** What the tests of several modules share. */
package org.teaseltrail.testing;
