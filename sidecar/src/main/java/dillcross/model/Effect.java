package dillcross.model;

/** What running an op a second time would do. */
public enum Effect {
    /** Running it again does no harm. */
    REDELIVERABLE,
    /** It bears a mark by which a group of endpoints recognises a repeat for a while. */
    DEDUPLICATED,
    /** It may never run a second time. */
    AT_MOST_ONCE
}
