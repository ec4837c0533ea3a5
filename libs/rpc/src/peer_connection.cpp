#include "peer_connection.h"

#include "message_limit.h"
#include "socket_options.h"

#include <capnp/message.h>

namespace toucan::rpc {

namespace {

schema::Daemon::Client bootstrap(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& system)
{
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return system.bootstrap(server).castAs<schema::Daemon>();
}

} // namespace

peer_connection::open_state::open_state(kj::Own<kj::AsyncIoStream> connected)
    : stream(kj::mv(connected)),
      network(*stream, capnp::rpc::twoparty::Side::CLIENT, reader_options()),
      system(capnp::makeRpcClient(network)), daemon(bootstrap(system))
{
}

peer_connection::peer_connection(kj::Promise<kj::Own<kj::AsyncIoStream>> connecting)
    : ready_(connecting
                 .then([this](kj::Own<kj::AsyncIoStream> stream) {
                     set_no_delay(*stream);
                     state_ = kj::heap<open_state>(kj::mv(stream));
                 })
                 .fork())
{
}

schema::Daemon::Client& peer_connection::daemon()
{
    return state_->daemon;
}

kj::Promise<void> peer_connection::on_disconnect()
{
    return state_->network.onDisconnect();
}

} // namespace toucan::rpc
