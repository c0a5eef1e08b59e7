package io.pineladder.failover;

import io.pineladder.store.StoreClient;

/** The records that earlier leaders stored, by kind; filled as each kind is read. */
final class StoredListings {
  StoreClient.Listing unpagedJobs;
  StoreClient.Listing jobPages;
  StoreClient.Listing completions;
  StoreClient.Listing placements;
  StoreClient.Listing cachedImages;
}
