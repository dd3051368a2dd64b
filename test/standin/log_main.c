/* standin_log - runs the stand-in of the platform's log as a process

   usage: standin_log [--address A] [--port P] [--ready FILE]

   Writes "port N" to FILE once it accepts connections; stops on SIGTERM or
   SIGINT.  */

#include "logstore.h"
#include "support.h"
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

static int
run (const char *address, int port, const char *ready)
{
  g_autofree char *text = NULL;
  devlog_t *devlog;

  support_block_signals ();
  devlog = devlog_start (address, (uint16_t)port);
  if (!devlog)
    {
      fprintf (stderr, "standin_log: can't listen on %s port %d\n", address,
               port);
      return EXIT_FAILURE;
    }
  text = g_strdup_printf ("port %u\n", devlog_port (devlog));
  support_write_ready_file (ready, text);
  support_wait_signal ();
  devlog_stop (devlog);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_str *address
      = arg_str0 (NULL, "address", "A", "IP address to listen on");
  struct arg_int *port = arg_int0 (NULL, "port", "P", "port (0: any)");
  struct arg_str *ready
      = arg_str0 (NULL, "ready", "FILE", "written once it serves");
  struct arg_end *end = arg_end (4);
  void *table[] = { address, port, ready, end };
  int status = 2;

  address->sval[0] = "127.0.0.1";
  port->ival[0] = 0;
  if (arg_parse (argc, argv, table) > 0 || port->ival[0] < 0
      || port->ival[0] > 65535)
    {
      arg_print_errors (stderr, end, "standin_log");
      fprintf (stderr, "usage: standin_log");
      arg_print_syntax (stderr, table, "\n");
    }
  else
    status = run (address->sval[0], port->ival[0],
                  ready->count ? ready->sval[0] : NULL);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
