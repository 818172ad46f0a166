package dillcross.model;

/** Which endpoints recognise a repeat of a deduplicated op: all, those of one zone, or those of one cell. */
public enum Group { ALL, ZONE, CELL }
