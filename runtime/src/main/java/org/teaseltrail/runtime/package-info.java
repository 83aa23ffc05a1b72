/** What every program needs: settings, logs, metrics and an orderly start and end. */
package org.teaseltrail.runtime;
