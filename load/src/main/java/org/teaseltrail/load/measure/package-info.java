/** What is counted of each request, in virtual time and over HTTP alike. */
package org.teaseltrail.load.measure;
