package io.pineladder;

import io.pineladder.delivery.DeliveryContext;
import io.pineladder.membership.Membership;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.EventLoop;
import io.pineladder.store.StoreClient;

/**
 * What a controller has for as long as its process lives, and each of its terms uses.
 *
 * @param delivery delivers notifications of final states; null where that is switched off
 */
record ControllerContext(
    Settings settings,
    EventLoop eventLoop,
    AsyncHttpClient httpClient,
    StoreClient storeClient,
    Membership membership,
    ClusterConfiguration configuration,
    FinalStateCache finalStates,
    DeliveryContext delivery) {}
