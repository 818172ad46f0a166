package dillcross.net;

/** What stands above the messages of its links: it takes them whole, and hears when a link is gone. */
interface Part {
    /** A message, or where it can't be read the status that says why. */
    void message(Link from, Message message, int fault);

    void closed(Link link);
}
