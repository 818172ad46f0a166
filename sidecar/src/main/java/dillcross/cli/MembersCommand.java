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

/** Prints the members that a running sidecar knows, as its admin endpoint reports them. */
final class MembersCommand {
  private static final String MEMBERS_PATH = "/-/members";
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
  private static final int HTTP_OK = 200;
  private static final int EXIT_SHOWN = 0;
  private static final int EXIT_NO_MEMBERS = 1;
  private static final int EXIT_INVALID_ADDRESS = 2;
  private static final double MILLIS_PER_SECOND = 1000;
  private static final List<String> HEADINGS = List.of("member", "state", "for", "zone", "address");
  private static final int COLUMN_GAP = 2;

  private MembersCommand() {}

  /**
   * Prints the members, or an error message.
   *
   * @param adminAddress numeric address and port of the sidecar's admin endpoint
   * @param json whether to print the JSON of the response and not a table
   * @return the exit status: 0 if members were shown, 1 if the endpoint did not respond or has no
   *     membership, 2 for an invalid address
   */
  static int show(String adminAddress, boolean json, PrintStream out, PrintStream err) {
    if (NumericAddress.parse(adminAddress).isEmpty()) {
      err.println("dillcross: not a numeric address and port: " + adminAddress);
      return EXIT_INVALID_ADDRESS;
    }
    try {
      HttpResponse<String> response = request(adminAddress);
      if (response.statusCode() != HTTP_OK) {
        err.println(
            "dillcross: "
                + adminAddress
                + " shows no members ("
                + response.statusCode()
                + "): membership is off there, or this is not an admin endpoint");
        return EXIT_NO_MEMBERS;
      }
      print(response.body(), json, out);
      return EXIT_SHOWN;
    } catch (IOException e) {
      err.println("dillcross: no answer from " + adminAddress + ": " + e);
      return EXIT_NO_MEMBERS;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_NO_MEMBERS;
    }
  }

  private static HttpResponse<String> request(String adminAddress)
      throws IOException, InterruptedException {
    HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    URI uri = URI.create("http://" + adminAddress + MEMBERS_PATH);
    HttpRequest request = HttpRequest.newBuilder(uri).timeout(RESPONSE_TIMEOUT).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static void print(String body, boolean json, PrintStream out) throws IOException {
    if (json) {
      out.println(body);
    } else {
      printTable(JSON.std.mapFrom(body), out);
    }
  }

  private static void printTable(Map<String, Object> view, PrintStream out) {
    Map<?, ?> self = (Map<?, ?>) view.get("self");
    List<List<String>> rows = new ArrayList<>();
    rows.add(HEADINGS);
    rows.add(row(self, "self", ""));
    for (Object item : (List<?>) view.get("members")) {
      Map<?, ?> member = (Map<?, ?>) item;
      rows.add(row(member, text(member, "state"), timeInState(member)));
    }
    int[] widths = columnWidths(rows);
    rows.forEach(row -> out.println(line(row, widths)));
    out.println("health " + self.get("health") + " (0 is healthy); " + view.get("counts"));
  }

  private static List<String> row(Map<?, ?> member, String state, String timeInState) {
    return List.of(
        text(member, "name"), state, timeInState, text(member, "zone"), text(member, "address"));
  }

  private static String text(Map<?, ?> member, String key) {
    return String.valueOf(member.get(key));
  }

  private static String timeInState(Map<?, ?> member) {
    long millis = ((Number) member.get("for_ms")).longValue();
    return String.format(Locale.ROOT, "%.1f s", millis / MILLIS_PER_SECOND);
  }

  private static int[] columnWidths(List<List<String>> rows) {
    int[] widths = new int[HEADINGS.size()];
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    return widths;
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      String cell = row.get(i);
      line.append(cell).append(" ".repeat(widths[i] - cell.length() + COLUMN_GAP));
    }
    return line.toString().stripTrailing();
  }
}
