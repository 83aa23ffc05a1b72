/** Value types for identifiers and for numbers that order incarnations, leaders and revisions. */
package org.teaseltrail.core.id;
