package dillcross.emulator.oracle;

/** An endpoint's id and where it runs: its zone, and the cell whose endpoints share state. */
public record EndpointLocation(String endpoint, String zone, int cell) {
  /** Whether both endpoints recognise each other's work under the given deduplication scope. */
  boolean sharesDeduplicationScope(EndpointLocation other, String scope) {
    return switch (scope) {
      case "all" -> true;
      case "zone" -> zone.equals(other.zone);
      default -> cell == other.cell;
    };
  }
}
