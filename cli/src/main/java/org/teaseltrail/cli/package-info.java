/** Command line for operators, a client of the gRPC operator API. */
package org.teaseltrail.cli;
