package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Builders;
import net.jqwik.api.Tuple;
import org.teaseltrail.forward.AnswerStep.Moment;
import org.teaseltrail.forward.AnswerStep.Second;

/** Generates scripts of an upstream; without further choice requests are told apart by their id. */
final class AnswerSteps {

  private static final int MAX_REQUESTS = 5;

  private Arbitrary<HttpMethod> methods = Arbitraries.of(HttpMethod.GET);
  private Arbitrary<Boolean> repeated = Arbitraries.just(false);
  private Arbitrary<Boolean> named = Arbitraries.just(true);
  private Arbitrary<Second> seconds =
      Arbitraries.of(
          Second.NONE,
          Second.SAME,
          Second.OTHER_STATUS,
          Second.OTHER_CASE,
          Second.TWO_IDS,
          Second.STREAM);

  AnswerSteps methods(HttpMethod... chosen) {
    methods = Arbitraries.of(chosen);
    return this;
  }

  /** Some requests have the id of the one before. */
  AnswerSteps repeatingIds() {
    repeated = Arbitraries.of(false, true);
    return this;
  }

  /** Some answers don't name their request. */
  AnswerSteps unnamed() {
    named = Arbitraries.of(true, false);
    return this;
  }

  AnswerSteps seconds(Second... chosen) {
    seconds = Arbitraries.of(chosen);
    return this;
  }

  Arbitrary<List<AnswerStep>> lists() {
    Arbitrary<Boolean> either = Arbitraries.of(false, true);
    return Builders.withBuilder(Draft::new)
        .use(methods)
        .inSetter((draft, value) -> draft.method = value)
        .use(repeated)
        .inSetter((draft, value) -> draft.repeatsId = value)
        .use(Arbitraries.of(AnswerText.Status.class))
        .inSetter((draft, value) -> draft.status = value)
        .use(Arbitraries.of(AnswerText.Framing.class))
        .inSetter((draft, value) -> draft.framing = value)
        .use(named)
        .inSetter((draft, value) -> draft.named = value)
        .use(Arbitraries.frequency(Tuple.of(4, 0), Tuple.of(1, 2)))
        .inSetter((draft, value) -> draft.interimAnswers = value)
        .use(seconds)
        .inSetter((draft, value) -> draft.second = value)
        .use(Arbitraries.of(Moment.class))
        .inSetter((draft, value) -> draft.moment = value)
        .use(either)
        .inSetter((draft, value) -> draft.otherConnection = value)
        .use(either)
        .inSetter((draft, value) -> draft.isSentAtOnce = value)
        .build(Draft::step)
        .list()
        .ofMinSize(1)
        .ofMaxSize(MAX_REQUESTS);
  }

  /** The values of a step, while they are drawn. */
  private static final class Draft {
    private HttpMethod method;
    private boolean repeatsId;
    private AnswerText.Status status;
    private AnswerText.Framing framing;
    private boolean named;
    private int interimAnswers;
    private Second second;
    private Moment moment;
    private boolean otherConnection;
    private boolean isSentAtOnce;

    private AnswerStep step() {
      return new AnswerStep(
          method,
          repeatsId,
          status,
          framing,
          named,
          interimAnswers,
          second,
          moment,
          otherConnection,
          isSentAtOnce);
    }
  }
}
