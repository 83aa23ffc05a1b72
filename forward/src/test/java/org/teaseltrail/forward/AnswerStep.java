package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Locale;

/**
 * One request and what its upstream writes because of it.
 *
 * @param method method of the request
 * @param repeatsId whether the request has the id of the one before
 * @param status status of the answer
 * @param framing framing of the answer
 * @param named whether the answer names the request
 * @param interimAnswers number of answers with a status below 200 before it
 * @param second what the upstream answers a second time
 * @param moment when it does so
 * @param otherConnection whether the request takes the connection that was used less recently
 * @param isSentAtOnce whether the next request is sent as soon as this one is complete
 */
record AnswerStep(
    HttpMethod method,
    boolean repeatsId,
    AnswerText.Status status,
    AnswerText.Framing framing,
    boolean named,
    int interimAnswers,
    Second second,
    Moment moment,
    boolean otherConnection,
    boolean isSentAtOnce) {

  /** What an upstream answers a second time. */
  enum Second {
    NONE,
    SAME,
    OTHER_STATUS,
    OTHER_STATUS_WITHOUT_ID {
      @Override
      List<String> ids(String id) {
        return List.of();
      }
    },
    WITHOUT_ID {
      @Override
      List<String> ids(String id) {
        return List.of();
      }
    },
    OTHER_CASE {
      @Override
      List<String> ids(String id) {
        return List.of(id.toUpperCase(Locale.ROOT));
      }
    },
    TWO_IDS {
      @Override
      List<String> ids(String id) {
        return List.of(id, "other");
      }
    },
    STREAM,
    /** Another status, and the upstream stops within the answer. */
    BROKEN_OFF;

    List<String> ids(String id) {
      return List.of(id);
    }

    /** Returns the second answer to a request whose first answer is given. */
    AnswerText of(String id, AnswerText first) {
      AnswerText.Status status =
          switch (this) {
            case OTHER_STATUS, OTHER_STATUS_WITHOUT_ID, BROKEN_OFF -> first.status().other();
            case STREAM -> AnswerText.Status.STREAM;
            default -> first.status();
          };
      AnswerText.Framing framing =
          this == STREAM ? AnswerText.Framing.CHUNKS : AnswerText.Framing.LENGTH;
      return new AnswerText(status, ids(id), "second " + first.mark(), framing, first.hasBody());
    }
  }

  /** When an upstream answers a second time. */
  enum Moment {
    /** In the read that has the end of the first answer. */
    SAME_READ,
    /** While the connection waits for a request. */
    IDLE,
    /** After the next request was written. */
    AFTER_NEXT_REQUEST,
    /** Half of it before the next request was written, half after. */
    AROUND_NEXT_REQUEST,
    /** Behind the next answer. */
    AFTER_NEXT_ANSWER
  }
}
