/** Value types that identify the things the system speaks of. */
package org.teaseltrail.core.id;
