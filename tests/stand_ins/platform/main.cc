// In-memory stand-in for the platform, for tests on loopback.

#include <gflags/gflags.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "stand_ins/platform/platform_server.h"

DEFINE_string(listen, "127.0.0.1:0", "IP:port to listen on; port 0: any");
DEFINE_uint64(writes_per_second, 0, "limit on writes a second; 0: none");
DEFINE_uint64(reads_per_second, 0, "limit on reads a second; 0: none");
DEFINE_string(port_file, "", "file to write the port to, once listening");

namespace oleandertide::stand_ins {
namespace {

// Each open connection occupies a thread of the HTTP library.
constexpr std::size_t kThreads = 512;
// The HTTP library's own backlog of 5 delays many simultaneous connections by
// the retransmission of SYN packets.
constexpr int kBacklog = 1024;
constexpr std::size_t kKeepAliveRequests = 1000000000;
constexpr time_t kKeepAliveSeconds = 60;

// Writes the port under a temporary name first, so that a reader never sees a
// part of it.
bool WritePortFile(const std::string& path, int port) {
  if (path.empty()) return true;
  const std::string temporary = path + ".part";
  std::ofstream file(temporary);
  file << port << '\n';
  file.close();
  if (!file) return false;
  std::error_code error;
  std::filesystem::rename(temporary, path, error);
  return !error;
}

// Binds and returns the port, or -1.
int Bind(httplib::Server& server, const std::string& listen) {
  const auto colon = listen.rfind(':');
  if (colon == std::string::npos) return -1;
  const std::string host = listen.substr(0, colon);
  const int port = std::atoi(listen.c_str() + colon + 1);
  int listener = -1;
  server.set_socket_options([&listener](int descriptor) {
    listener = descriptor;
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  int bound = port;
  if (port == 0) {
    bound = server.bind_to_any_port(host);
  } else if (!server.bind_to_port(host, port)) {
    bound = -1;
  }
  if (bound > 0) ::listen(listener, kBacklog);
  return bound;
}

// Ends the process on SIGTERM or SIGINT. The state is in memory only, so there
// is nothing to save.
void EndOnSignal(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(0);
}

int Run() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread(EndOnSignal, signals).detach();

  httplib::Server server;
  server.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(kKeepAliveRequests);
  server.set_keep_alive_timeout(kKeepAliveSeconds);
  PlatformServer platform(FLAGS_writes_per_second, FLAGS_reads_per_second);
  platform.Register(server);
  const int port = Bind(server, FLAGS_listen);
  if (port <= 0) {
    std::fprintf(stderr, "cannot listen on %s\n", FLAGS_listen.c_str());
    return EXIT_FAILURE;
  }
  if (!WritePortFile(FLAGS_port_file, port)) {
    std::fprintf(stderr, "cannot write %s\n", FLAGS_port_file.c_str());
    return EXIT_FAILURE;
  }
  std::printf("listening port=%d\n", port);
  std::fflush(stdout);
  return server.listen_after_bind() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace oleandertide::stand_ins

int main(int argument_count, char** arguments) {
  gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
  return oleandertide::stand_ins::Run();
}
