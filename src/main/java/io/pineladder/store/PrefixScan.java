package io.pineladder.store;

import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.List;

/** Reads all keys with a prefix, page by page; holds what has been read so far. */
final class PrefixScan {
  private final RevisionTracker revisions;
  private final String prefix;
  private final List<StoreWire.Entry> entries = new ArrayList<>();
  private RevisionTracker.RequestContext context;

  /** The revision of the first page, or -1 before it. */
  private long revision = -1;

  /** The last key read, after which the next page begins; null before the first. */
  private String lastKey;

  private boolean complete;

  PrefixScan(RevisionTracker revisions, String prefix) {
    this.revisions = revisions;
    this.prefix = prefix;
  }

  /** The path of the next page's request, which is sent now. */
  String nextPath() {
    context = revisions.requestContext();
    String after = lastKey == null ? null : context.keyspace() + lastKey;
    return StoreWire.listPath(context.keyspace() + prefix, after);
  }

  /** Takes in a reply; false when it is no valid page, so that the request is to be repeated. */
  boolean addPage(Reply reply) {
    if (!reply.hasStatus(200)) {
      return false;
    }
    try {
      StoreWire.Page page = StoreWire.parsePage(reply.body(), context.keyspace());
      if (!context.acceptRevision(page.revision())) {
        return false;
      }
      entries.addAll(page.entries());
      // Changes made while later pages are read are seen again by following from the first.
      revision = revision < 0 ? page.revision() : revision;
      lastKey = page.nextPageAfter();
      complete = lastKey == null;
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  /** Whether the last page was taken in. */
  boolean isComplete() {
    return complete;
  }

  /** Everything read, with the revision from which changes are to be followed. */
  StoreClient.Listing listing() {
    return new StoreClient.Listing(entries, revision);
  }
}
