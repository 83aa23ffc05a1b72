/** What the scheduler believes to be in each engine's prefix cache, and which engine holds what. */
package org.teaseltrail.core.schedule.prefix;
