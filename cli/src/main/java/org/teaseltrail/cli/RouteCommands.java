package org.teaseltrail.cli;

import com.google.protobuf.Message;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.api.v1.Change;
import org.teaseltrail.api.v1.Configuration;
import org.teaseltrail.api.v1.ModelTarget;
import org.teaseltrail.api.v1.Route;
import org.teaseltrail.api.v1.ServiceTarget;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Commands that create, replace, remove and list routes. */
final class RouteCommands extends EntityCommands {

  RouteCommands() {
    super("route", "ROUTE");
  }

  @Override
  void addPutArguments(ArgumentParser parser) {
    parser.addArgument("--pool").required(true).metavar("POOL").help("where it is served");
    parser.addArgument("--model").metavar("MODEL").help("the model that callers ask for");
    parser
        .addArgument("--model-version")
        .metavar("VERSION")
        .help("the version of the model that is served");
    parser.addArgument("--adapter").metavar("ADAPTER").help("the adapter of the model, if any");
    parser
        .addArgument("--service")
        .metavar("SERVICE")
        .help("the plain service that callers call, in place of a model");
    parser
        .addArgument("--non-idempotent-method")
        .action(Arguments.append())
        .metavar("METHOD")
        .help("HTTP method of the service whose calls may run at most once; several times");
  }

  @Override
  Change put(Namespace arguments) throws ProgramException {
    Route.Builder route =
        Route.newBuilder().setId(arguments.getString(ID)).setPool(arguments.getString("pool"));
    String model = arguments.getString("model");
    String service = arguments.getString("service");
    if ((model == null) == (service == null)) {
      throw new ProgramException(ExitCode.USAGE, "give either --model or --service");
    }
    if (model != null) {
      route.setModel(model(model, arguments));
    } else {
      route.setService(
          ServiceTarget.newBuilder()
              .setService(service)
              .addAllNonIdempotentMethods(repeatedValues(arguments, "non_idempotent_method")));
    }
    return Change.newBuilder().setPutRoute(route).build();
  }

  @Override
  Change remove(Namespace arguments) {
    return Change.newBuilder().setRemoveRoute(arguments.getString(ID)).build();
  }

  @Override
  Message selectEntities(Configuration configuration) {
    return Configuration.newBuilder()
        .setRevision(configuration.getRevision())
        .addAllRoutes(configuration.getRoutesList())
        .build();
  }

  @Override
  String table(Configuration configuration) {
    TextTable table = new TextTable("ROUTE", "TARGET", "ONCE ONLY", "POOL");
    for (Route route : configuration.getRoutesList()) {
      List<String> onceOnly = route.getService().getNonIdempotentMethodsList();
      table.addRow(route.getId(), target(route), String.join(",", onceOnly), route.getPool());
    }
    return table.print();
  }

  private static ModelTarget model(String model, Namespace arguments) throws ProgramException {
    String version = arguments.getString("model_version");
    if (version == null) {
      throw new ProgramException(ExitCode.USAGE, "--model needs --model-version");
    }
    ModelTarget.Builder target = ModelTarget.newBuilder().setModel(model).setVersion(version);
    String adapter = arguments.getString("adapter");
    if (adapter != null) {
      target.setAdapter(adapter);
    }
    return target.build();
  }

  private static String target(Route route) {
    if (route.hasService()) {
      return "service " + route.getService().getService();
    }
    ModelTarget model = route.getModel();
    String adapter = model.hasAdapter() ? " adapter " + model.getAdapter() : "";
    return "model " + model.getModel() + " " + model.getVersion() + adapter;
  }
}
