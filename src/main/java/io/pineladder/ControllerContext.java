package io.pineladder;

import io.pineladder.delivery.DeliveryContext;
import io.pineladder.membership.Membership;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.EventLoop;
import io.pineladder.store.StoreClient;

/**
 * The components of a controller process that all of its terms share.
 *
 * @param delivery delivers notifications of final states; null if delivery is disabled
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
