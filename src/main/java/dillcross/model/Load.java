package dillcross.model;

/** What an endpoint last said of its own load, late and noisy; NaN where it does not say. */
public record Load(double waiting, double active, double busy) {
    public static final Load UNKNOWN = new Load(Double.NaN, Double.NaN, Double.NaN);
}
