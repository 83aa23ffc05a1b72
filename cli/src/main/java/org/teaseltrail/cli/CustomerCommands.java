package org.teaseltrail.cli;

import com.google.protobuf.Message;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.api.v1.Change;
import org.teaseltrail.api.v1.Configuration;
import org.teaseltrail.api.v1.Customer;
import org.teaseltrail.runtime.process.ProgramException;

/** Commands that create, replace, remove and list customers. */
final class CustomerCommands extends EntityCommands {

  CustomerCommands() {
    super("customer", "CUSTOMER");
  }

  @Override
  void addPutArguments(ArgumentParser parser) {
    parser
        .addArgument("--tier")
        .type(Integer.class)
        .required(true)
        .metavar("RANK")
        .help("the tier it pays for");
    parser
        .addArgument("--key-file")
        .action(Arguments.append())
        .metavar("FILE")
        .help("a file that holds one of its API keys; may be given several times");
    parser
        .addArgument("--key-hash")
        .action(Arguments.append())
        .metavar("HEX")
        .help("SHA-256 of one of its API keys; may be given several times");
    parser
        .addArgument("--rate")
        .type(Double.class)
        .setDefault(0.0)
        .metavar("N")
        .help("requests a second it may send; 0 for no limit");
    parser
        .addArgument("--burst")
        .type(Double.class)
        .setDefault(0.0)
        .metavar("N")
        .help("requests it may send at once above the rate");
    parser
        .addArgument("--weight")
        .type(Integer.class)
        .setDefault(1)
        .metavar("N")
        .help("its share of engine time against other customers of its tier");
  }

  @Override
  Change put(Namespace arguments) throws ProgramException {
    Customer.Builder customer =
        Customer.newBuilder()
            .setId(arguments.getString(ID))
            .setTier(arguments.getInt("tier"))
            .addAllKeyHashes(repeatedValues(arguments, "key_hash"))
            .setRateRequestsPerSecond(arguments.getDouble("rate"))
            .setBurstRequests(arguments.getDouble("burst"))
            .setWeight(arguments.getInt("weight"));
    for (String file : repeatedValues(arguments, "key_file")) {
      customer.addKeyHashes(SecretHasher.hashFile(file));
    }
    return Change.newBuilder().setPutCustomer(customer).build();
  }

  @Override
  Change remove(Namespace arguments) {
    return Change.newBuilder().setRemoveCustomer(arguments.getString(ID)).build();
  }

  @Override
  Message selectEntities(Configuration configuration) {
    return Configuration.newBuilder()
        .setRevision(configuration.getRevision())
        .addAllCustomers(configuration.getCustomersList())
        .build();
  }

  @Override
  String table(Configuration configuration) {
    TextTable table = new TextTable("CUSTOMER", "TIER", "KEYS", "RATE/S", "BURST", "WEIGHT");
    for (Customer customer : configuration.getCustomersList()) {
      table.addRow(
          customer.getId(),
          customer.getTier(),
          customer.getKeyHashesCount(),
          customer.getRateRequestsPerSecond(),
          customer.getBurstRequests(),
          customer.getWeight());
    }
    return table.print();
  }
}
