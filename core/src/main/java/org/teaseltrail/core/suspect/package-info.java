/** What an entry VM knows of requests that crash the upstreams processing them. */
package org.teaseltrail.core.suspect;
