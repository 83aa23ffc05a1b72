/** What one entry VM's process costs from its cold start on, by phase and by thread. */
package org.teaseltrail.bench.process;
