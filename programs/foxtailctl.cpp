#include "operator/Ctl.h"

int main(int argc, const char** argv)
{
  return foxtail::RunCtl(argc, argv);
}
