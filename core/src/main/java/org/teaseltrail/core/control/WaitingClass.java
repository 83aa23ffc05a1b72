package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.serving.Urgency;

/**
 * The requests of one urgency and customer that wait for a service.
 *
 * @param urgency their urgency
 * @param customer their customer, if the VMs group by customer
 */
record WaitingClass(Urgency urgency, Optional<CustomerId> customer) {}
