#include "core/Daemon.h"
#include "standin/Standin.h"

int main(int argc, const char** argv)
{
  return foxtail::RunDaemon<foxtail::Standin>(
    argc, argv, "foxtail-backend", foxtail::StandinSettings::Read);
}
