import java.util.*;
import java.util.regex.*;

/** Renders a settings template as DEPLOY.md explains it, as far as the deploy files use it. */
final class Template {
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([A-Za-z.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL);
  private static final Pattern VALUE = Pattern.compile("\\{\\{([A-Za-z.]+)\\}\\}");

  static String render(String template, Map<String, Object> fields) {
    Matcher section = SECTION.matcher(template);
    String expanded =
        section.replaceAll(
            found -> {
              Object value = find(fields, found.group(1));
              String body = value == null ? "" : found.group(2);
              return Matcher.quoteReplacement(body.replace("{{.}}", String.valueOf(value)));
            });
    return VALUE
        .matcher(expanded)
        .replaceAll(
            found -> {
              Object value = find(fields, found.group(1));
              return Matcher.quoteReplacement(value == null ? "" : String.valueOf(value));
            });
  }

  private static Object find(Map<String, Object> fields, String name) {
    Object at = fields;
    for (String part : name.split("\\.")) {
      at = at instanceof Map<?, ?> map ? map.get(part) : null;
    }
    return at;
  }
}
