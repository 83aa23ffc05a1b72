/** Models of the engines' prefix caches, and a directory of the engines that hold a block. */
package org.teaseltrail.core.schedule.prefix;
