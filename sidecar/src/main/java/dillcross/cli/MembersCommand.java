package dillcross.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import dillcross.common.NumericAddress;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Prints what a sidecar's admin endpoint says of the other members. */
final class MembersCommand {
  private MembersCommand() {}

  static int show(String admin, boolean json, PrintStream out, PrintStream err) {
    if (NumericAddress.parse(admin).isEmpty()) {
      err.println("dillcross: not a numeric address and port: " + admin);
      return 2;
    }
    try {
      HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(3)).build();
      HttpResponse<String> answer =
          client.send(
              HttpRequest.newBuilder(URI.create("http://" + admin + "/-/members"))
                  .timeout(Duration.ofSeconds(5))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      if (answer.statusCode() != 200) {
        err.println(
            "dillcross: "
                + admin
                + " shows no members ("
                + answer.statusCode()
                + "): membership is off there, or it is no admin endpoint");
        return 1;
      }
      if (json) {
        out.println(answer.body());
      } else {
        table(JSON.std.mapFrom(answer.body()), out);
      }
      return 0;
    } catch (IOException e) {
      err.println("dillcross: no answer from " + admin + ": " + e);
      return 1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 1;
    }
  }

  private static void table(Map<String, Object> all, PrintStream out) {
    List<String[]> rows = new ArrayList<>();
    rows.add(new String[] {"member", "state", "for", "zone", "address"});
    Map<?, ?> self = (Map<?, ?>) all.get("self");
    rows.add(
        new String[] {
          String.valueOf(self.get("name")),
          "self",
          "",
          String.valueOf(self.get("zone")),
          String.valueOf(self.get("address"))
        });
    for (Object one : (List<?>) all.get("members")) {
      Map<?, ?> row = (Map<?, ?>) one;
      rows.add(
          new String[] {
            String.valueOf(row.get("name")),
            String.valueOf(row.get("state")),
            String.format(Locale.ROOT, "%.1f s", ((Number) row.get("for_ms")).longValue() / 1000.0),
            String.valueOf(row.get("zone")),
            String.valueOf(row.get("address"))
          });
    }
    int[] width = new int[5];
    rows.forEach(
        row -> {
          for (int i = 0; i < width.length; i++) {
            width[i] = Math.max(width[i], row[i].length());
          }
        });
    for (String[] row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < width.length; i++) {
        line.append(row[i]).append(" ".repeat(width[i] - row[i].length() + 2));
      }
      out.println(line.toString().stripTrailing());
    }
    out.println("health " + self.get("health") + " (0 is well); " + all.get("counts"));
  }
}
