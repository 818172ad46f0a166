package dillcross.model;

/** What an endpoint last said of its own load, late and noisy: how busy its cores are, NaN where it does not say. */
public record Load(double busy) {
    public static final Load UNKNOWN = new Load(Double.NaN);
}
