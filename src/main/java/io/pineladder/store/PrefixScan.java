package io.pineladder.store;

import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.List;

/** A paginated read of all keys with a prefix. */
final class PrefixScan {
  private final RevisionTracker revisions;
  private final String prefix;
  private final List<StoreWire.Entry> entries = new ArrayList<>();
  private RevisionTracker.RequestContext context;

  /** The revision of the first page; -1 until it is read. */
  private long revision = -1;

  /** The key after which the next page begins; null for the first page and after the last. */
  private String lastKey;

  private boolean complete;

  PrefixScan(RevisionTracker revisions, String prefix) {
    this.revisions = revisions;
    this.prefix = prefix;
  }

  /** Returns the request path of the next page; to be called when the request is sent. */
  String nextPath() {
    context = revisions.requestContext();
    String after = lastKey == null ? null : context.keyspace() + lastKey;
    return StoreWire.listPath(context.keyspace() + prefix, after);
  }

  /** Adds the page in a reply; returns false when the reply is not a valid page. */
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
      // Watching from the first page's revision covers changes made during the scan.
      revision = revision < 0 ? page.revision() : revision;
      lastKey = page.nextPageAfter();
      complete = lastKey == null;
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  boolean isComplete() {
    return complete;
  }

  /** The entries read, with the revision from which to watch for changes. */
  StoreClient.Listing listing() {
    return new StoreClient.Listing(entries, revision);
  }
}
