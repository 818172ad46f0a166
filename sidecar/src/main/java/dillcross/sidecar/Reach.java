package dillcross.sidecar;

/** How far a push came on its connection: only one that was written whole can have run. */
public enum Reach { NOT_CONNECTED, PARTLY_WRITTEN, WHOLE_WRITTEN }
