#include "entry.h"
#include "planner.h"
#include <argtable2.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 4096
#define EXIT_USAGE 2
/* Path of the settings file when the platform starts the daemon.  */
#define ENTRY_SETTINGS_VARIABLE "CUMINPIN_SETTINGS"

typedef struct options
{
  char *settings;
  bool check;
  bool dev;
  bool entry;
  bool verbose;
} options_t;

typedef struct process
{
  settings_t *settings;
  loop_config_t config;
  devlog_t *devlog; /* --dev only */
  int listen_fd;
  uint16_t port;
  replica_t *replica;
  logreader_t *logreader;
  planner_t *planner;
  livereader_t *livereader;
  admin_t *admin;
} process_t;

static int
open_listener (const settings_t *settings, uint16_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  address.sin_port = htons (settings->port);
  inet_pton (AF_INET, settings->address, &address.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd >= 0 && bind (fd, (struct sockaddr *)&address, sizeof address) == 0
      && listen (fd, LISTEN_BACKLOG) == 0
      && getsockname (fd, (struct sockaddr *)&address, &len) == 0)
    {
      *port = ntohs (address.sin_port);
      return fd;
    }
  if (fd >= 0)
    close (fd);
  return -1;
}

static const char *
settings_path (const struct arg_file *given, bool entry)
{
  if (given->count > 0)
    return given->filename[0];
  return entry ? getenv (ENTRY_SETTINGS_VARIABLE) : NULL;
}

static int
check_entry_settings (const char *path)
{
  g_autoptr (GError) error = NULL;
  entry_settings_t *settings = entry_settings_read (path, &error);

  if (!settings)
    event_log (EV_SETTINGS_REJECTED, "%s", error->message);
  entry_settings_free (settings);
  return error ? EXIT_FAILURE : EXIT_SUCCESS;
}

static int
run_entry (options_t *options)
{
  int status = options->check ? check_entry_settings (options->settings)
                              : entry_run (options->settings);

  free (options->settings);
  return status;
}

/* Returns EXIT_SUCCESS to continue, else the exit status.  */
static int
read_options (int argc, char **argv, options_t *options)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_lit *check
      = arg_lit0 (NULL, "check", "check the settings file and exit");
  struct arg_lit *dev = arg_lit0 (
      NULL, "dev", "run an embedded platform stand-in; its data is not kept");
  struct arg_lit *entry
      = arg_lit0 (NULL, "entry",
                  "run jobs as an entry host of the users' platform; "
                  "SETTINGS may come from " ENTRY_SETTINGS_VARIABLE);
  struct arg_lit *verbose = arg_lit0 ("v", "verbose", "also log debug events");
  struct arg_file *settings
      = arg_file0 (NULL, NULL, "SETTINGS", "the daemon's settings (YAML)");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, check, dev, entry, verbose, settings, end };
  int errors = arg_parse (argc, argv, table);
  const char *path = settings_path (settings, entry->count > 0);
  bool usage = help->count > 0 || errors > 0 || !path;

  if (errors > 0 && help->count == 0)
    arg_print_errors (stderr, end, "cuminpind");
  if (usage)
    {
      FILE *out = help->count > 0 ? stdout : stderr;

      fprintf (out, "usage: cuminpind");
      arg_print_syntax (out, table, "\n");
      arg_print_glossary (out, table, "  %-16s %s\n");
    }
  options->check = check->count > 0;
  options->dev = dev->count > 0;
  options->verbose = verbose->count > 0;
  options->entry = entry->count > 0;
  options->settings = path ? strdup (path) : NULL;
  if (!usage)
    {
      arg_freetable (table, G_N_ELEMENTS (table));
      return EXIT_SUCCESS;
    }
  exit (help->count > 0 ? EXIT_SUCCESS : EXIT_USAGE);
}

/* Writes the ports for the process that started this daemon.  */
static bool
write_ready_file (const process_t *process)
{
  const char *path = process->settings->ready_file;
  g_autofree char *text = NULL;
  g_autofree char *platform = NULL;

  if (process->devlog)
    platform = g_strdup_printf ("platform_port %u\n",
                                devlog_port (process->devlog));
  text = g_strdup_printf ("port %u\nadmin_port %u\npeer_port %u\n%s",
                          process->port, admin_port (process->admin),
                          exchange_port (process->config.exchange),
                          platform ? platform : "");
  /* The file is replaced atomically, so that readers never see a part of
     it.  */
  return !path || g_file_set_contents (path, text, -1, NULL);
}

static bool
start (process_t *process, bool dev)
{
  const settings_t *settings = process->settings;
  g_autofree char *platform = g_strdup (settings->platform);
  uint64_t incarnation = (uint64_t)clock_wall_ms () * 1000;

  if (dev)
    {
      process->devlog = devlog_start (settings->address, 0);
      if (!process->devlog)
        return false;
      g_free (platform);
      platform = g_strdup_printf ("http://%s:%u", settings->address,
                                  devlog_port (process->devlog));
    }
  process->config.settings = settings;
  process->config.name = settings->name;
  claims_open (&process->config.claims, clock_wall_ms ());
  process->listen_fd = open_listener (settings, &process->port);
  if (process->listen_fd < 0)
    return false;
  process->replica
      = replica_open (settings, &process->config.claims, incarnation);
  process->config.exchange = exchange_start (settings, &process->config,
                                             process->replica, incarnation);
  if (!process->config.exchange)
    return false;
  replica_set_exchange (process->replica, process->config.exchange);
  process->logreader
      = logreader_start (settings, process->replica, platform, incarnation);
  process->planner = planner_new (settings);
  process->livereader = livereader_start (
      settings, platform, process->config.exchange, process->planner);
  process->admin = admin_start (settings, &process->config, process->planner);
  if (!process->logreader || !process->livereader || !process->admin)
    return false;
  for (uint32_t i = 0; i < settings->threads; i++)
    if (!loop_start (&process->config, process->listen_fd))
      return false;
  /* The loops have duplicates.  If this one stayed open, the kernel would go
     on accepting connections while the daemon stops, and nobody would serve
     them.  */
  close (process->listen_fd);
  return write_ready_file (process);
}

static void
stop (process_t *process)
{
  const settings_t *settings = process->settings;
  loop_config_t *config = &process->config;
  bool leaves;

  event_log (EV_STOPPING, "name=%s", settings->name);
  atomic_store (&process->config.stopping, true);
  for (uint32_t i = 0; i < config->loops_count; i++)
    loop_stop_begin (config->loops[i]);
  for (uint32_t i = 0; i < config->loops_count; i++)
    loop_join (config->loops[i]);
  livereader_stop (process->livereader);
  admin_stop (process->admin);
  planner_free (process->planner);
  logreader_halt (process->logreader);
  leaves = exchange_stop (config->exchange);
  logreader_close (process->logreader, leaves);
  replica_close (process->replica);
  if (process->devlog)
    devlog_stop (process->devlog);
  claims_close (&config->claims);
  event_log (EV_STOPPED, "name=%s", settings->name);
}

static void
wait_for_signal (const sigset_t *signals)
{
  int signal;

  sigwait (signals, &signal);
}

int
main (int argc, char **argv)
{
  options_t options;
  process_t process = { 0 };
  g_autoptr (GError) error = NULL;
  sigset_t signals;

  event_open ("cuminpind", LEVEL_INFO);
  read_options (argc, argv, &options);
  if (options.entry)
    return run_entry (&options);
  process.settings = settings_read (options.settings, &error);
  free (options.settings);
  if (!process.settings)
    {
      event_log (EV_SETTINGS_REJECTED, "%s", error->message);
      return EXIT_FAILURE;
    }
  if (options.check)
    return EXIT_SUCCESS;
  event_open (process.settings->name,
              options.verbose ? LEVEL_DEBUG : LEVEL_INFO);
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return EXIT_FAILURE;
  if (!start (&process, options.dev))
    {
      event_log (EV_LISTEN_FAILED, "address=%s port=%u",
                 process.settings->address, process.settings->port);
      return EXIT_FAILURE;
    }
  event_log (EV_STARTED, "name=%s port=%u admin_port=%u",
             process.settings->name, process.port, admin_port (process.admin));
  wait_for_signal (&signals);
  stop (&process);
  settings_free (process.settings);
  curl_global_cleanup ();
  return EXIT_SUCCESS;
}
