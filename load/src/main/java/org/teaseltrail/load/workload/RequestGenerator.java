package org.teaseltrail.load.workload;

import java.util.List;
import java.util.SplittableRandom;
import org.teaseltrail.core.id.CustomerId;

/** Generates random requests of one kind: customer, prompt and response length. */
final class RequestGenerator {

  private final Deployment deployment;
  private final KindSpec kind;
  private final SplittableRandom random;
  private final ConversationStore conversations = new ConversationStore();

  RequestGenerator(Deployment deployment, KindSpec kind, SplittableRandom random) {
    this.deployment = deployment;
    this.kind = kind;
    this.random = random;
  }

  PlannedRequest generate(long atNs) {
    CustomerId customer = sampleCustomer();
    Prompt prompt = prefix(customer, atNs).append(sampleSegment(kind.promptTokens()));
    int outputTokens = kind.outputTokens().sample(random);
    Prompt withAnswer = prompt.append(new Segment(random.nextLong(), outputTokens));
    conversations.add(kind, customer, atNs, withAnswer);
    return new PlannedRequest(
        0, atNs, kind, customer, deployment.tierOf(kind), prompt, outputTokens);
  }

  /** Samples the time until the next request at a given rate from an exponential distribution. */
  long sampleInterArrivalNs(double ratePerSecond) {
    return (long) (-Math.log(1 - random.nextDouble()) / ratePerSecond * 1e9);
  }

  private Prompt prefix(CustomerId customer, long atNs) {
    if (random.nextDouble() < kind.followUpFraction()) {
      return conversations
          .take(kind, customer, atNs, random)
          .orElseGet(() -> systemPrompt(customer));
    }
    return systemPrompt(customer);
  }

  private Prompt systemPrompt(CustomerId customer) {
    int tokens = deployment.customer(customer).systemPromptTokens();
    long seed = customer.value().hashCode() * 31L + kind.name().hashCode();
    return new Prompt(List.of(new Segment(seed, tokens)));
  }

  private Segment sampleSegment(LengthSpec length) {
    return new Segment(random.nextLong(), length.sample(random));
  }

  private CustomerId sampleCustomer() {
    double total = kind.customers().stream().mapToDouble(CustomerShare::share).sum();
    double left = random.nextDouble() * total;
    for (CustomerShare share : kind.customers()) {
      left -= share.share();
      if (left < 0) {
        return share.customer();
      }
    }
    return kind.customers().get(0).customer();
  }
}
