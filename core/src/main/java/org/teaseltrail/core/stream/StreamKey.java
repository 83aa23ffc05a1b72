package org.teaseltrail.core.stream;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.StringId;

/**
 * Names a stream. The customer is part of the name, so that nobody learns of, or continues, a
 * stream of another customer by naming one of its requests.
 *
 * @param customer the customer that asked for it, if its route needs one
 * @param attempt the caller's id of the attempt that brought the first event
 */
public record StreamKey(Optional<CustomerId> customer, String attempt) {

  /**
   * Creates the name of a stream if the attempt's id can be one.
   *
   * @param customer the customer that asked for it, if its route needs one
   * @param attempt the caller's id of the attempt, from outside
   * @return the name, empty if the id is blank or too long
   */
  public static Optional<StreamKey> of(Optional<CustomerId> customer, String attempt) {
    boolean isValid = !attempt.isBlank() && attempt.length() <= StringId.MAX_LENGTH;
    return isValid ? Optional.of(new StreamKey(customer, attempt)) : Optional.empty();
  }
}
