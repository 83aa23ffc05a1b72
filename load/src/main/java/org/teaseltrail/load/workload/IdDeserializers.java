package org.teaseltrail.load.workload;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.util.function.Function;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RegionId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

/** Jackson module that deserializes ids from strings and tiers from their ranks. */
final class IdDeserializers {

  private IdDeserializers() {}

  static SimpleModule module() {
    SimpleModule module = new SimpleModule("ids-as-text");
    add(module, CustomerId.class, CustomerId::new);
    add(module, DataCenterId.class, DataCenterId::new);
    add(module, ModelId.class, ModelId::new);
    add(module, ModelVersion.class, ModelVersion::new);
    add(module, PoolId.class, PoolId::new);
    add(module, RegionId.class, RegionId::new);
    add(module, ServiceId.class, ServiceId::new);
    add(module, Tier.class, rank -> new Tier(Integer.parseInt(rank)));
    add(module, UpstreamId.class, UpstreamId::new);
    return module;
  }

  private static <T> void add(SimpleModule module, Class<T> type, Function<String, T> fromText) {
    module.addDeserializer(type, new FromTextDeserializer<>(type, fromText));
  }

  private static final class FromTextDeserializer<T> extends StdDeserializer<T> {

    private static final long serialVersionUID = 1L;

    private final transient Function<String, T> fromText;

    FromTextDeserializer(Class<T> type, Function<String, T> fromText) {
      super(type);
      this.fromText = fromText;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      return fromText.apply(parser.getText());
    }
  }
}
