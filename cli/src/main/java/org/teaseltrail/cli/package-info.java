/** The operators' command line over the gRPC schema. */
package org.teaseltrail.cli;
