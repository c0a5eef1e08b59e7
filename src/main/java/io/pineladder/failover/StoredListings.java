package io.pineladder.failover;

import io.pineladder.store.StoreClient;

/** The records of earlier leaders by kind; each listing is set when it has been read. */
final class StoredListings {
  StoreClient.Listing unpagedJobs;
  StoreClient.Listing jobPages;
  StoreClient.Listing completions;
  StoreClient.Listing placements;
  StoreClient.Listing cachedImages;
}
