/**
 * Reading of the HTTP/1 answers that upstreams and peers send: where an answer ends, and whether it
 * is whole and well-formed.
 */
package org.teaseltrail.wire.http;
